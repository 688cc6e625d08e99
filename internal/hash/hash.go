// Package hash draws fixed values for pairs of names, so that hosts spread evenly without agreeing on anything.
//
// # Usage
//
//	rounding := hash.Fraction(host, service) // the same at each call, evenly spread over hosts
package hash

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Fraction returns the pair's value, from 0 to below 1.
func Fraction(host, name string) float64 {
	const mantissaBits = 53
	return math.Ldexp(float64(xxhash.Sum64String(host+"\n"+name)>>(64-mantissaBits)), -mantissaBits)
}
