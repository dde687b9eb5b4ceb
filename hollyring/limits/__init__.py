"""An organisation's token rate and burst, counted across all VMs."""
