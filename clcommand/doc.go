// Package clcommand defines the command line of chestnutlead: the operators'
// subcommands and the frame that the daemons are added to.
package clcommand
