package ingress

import "github.com/tideliftd/tidelift/internal/experiment"

// disabled says which mechanisms the settings switch off, to measure the effect of each.
type disabled struct {
	hedges         bool
	hangChecks     bool
	subrequests    bool
	latencyTargets bool
}

// disabledBy returns the mechanisms that off disables.
func disabledBy(off experiment.Off) disabled {
	return disabled{
		hedges:         off.Has(experiment.Hedges),
		hangChecks:     off.Has(experiment.HangChecks),
		subrequests:    off.Has(experiment.Subrequests),
		latencyTargets: off.Has(experiment.LatencyTargets),
	}
}
