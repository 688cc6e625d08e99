// Package version holds the version of the build, which operators see and daemons log.
//
// # Usage
//
//	fmt.Println(version.Version)
package version

// Version is set by the linker in a release (-ldflags "-X"); builds of a checkout keep "dev".
var Version = "dev"
