package registry

// Known returns the number of remembered incarnations that have not left.
func (r *Registry) Known() int { return len(r.servers) }
