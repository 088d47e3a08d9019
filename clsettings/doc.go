// Package clsettings reads the settings of the daemons from INI files and
// checks them against the schema settings.proto.
//
// Durations come from the generated getters, for example
// s.GetLease().GetTtl().AsDuration(); addresses come from the methods in
// this package, which return netip types.
package clsettings
