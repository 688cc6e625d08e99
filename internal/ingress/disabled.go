package ingress

import "github.com/tideliftd/tidelift/internal/experiment"

// disabled are the mechanisms of a request's way that the settings switch off, to measure what
// each is worth.
type disabled struct {
	hedges         bool
	hangChecks     bool
	subrequests    bool
	latencyTargets bool
}

// disabledBy returns what is switched off.
func disabledBy(off experiment.Off) disabled {
	return disabled{
		hedges:         off.Has(experiment.Hedges),
		hangChecks:     off.Has(experiment.HangChecks),
		subrequests:    off.Has(experiment.Subrequests),
		latencyTargets: off.Has(experiment.Aims),
	}
}
