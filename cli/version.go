package cli

// Version is the version of the command line and the daemons.
const Version = "0.1.0"
