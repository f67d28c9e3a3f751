"""What the operators' standing trial asks of `run`, held without the trial."""
