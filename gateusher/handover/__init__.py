"""From one process to the next without a closed door: what is agreed (`machine`) and how it is said (`channel`).

Nothing that names a request or an endpoint belongs here.
"""
