"""Send requests to targets through peers while this host's own links are lost."""
