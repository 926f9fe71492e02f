"""Planning of VMs, engines and roll-outs for the whole fleet."""
