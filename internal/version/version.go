// Package version holds the version of the build, for operators and the daemon's log.
//
// # Usage
//
//	fmt.Println(version.Version)
package version

// Version is set by the linker in a release (-ldflags "-X"); development builds keep "dev".
var Version = "dev"
