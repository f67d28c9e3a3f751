"""Many real processes of the program, with the links, clocks and lives between them broken by schedule, and a judge
that believes only what the rig itself saw; the package never imports it, and needs no switch for it."""
