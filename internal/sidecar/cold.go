package sidecar

import "time"

// SetCold sets how much longer a backend server of this host is slow after its start. While it is,
// it is sent requests at no more than its service's cold rate.
func (s *Sidecar) SetCold(name string, remaining time.Duration) {
	server, err := s.server(name)
	if err != nil {
		return // it has left, or its service is not declared yet
	}
	server.send(coldMessage{until: time.Now().Add(remaining)})
}

// assumeCold treats the backend server as cold until it reports otherwise, at most for the time that
// its service declares. It does so after a start of the sidecar, after the backend server has refused
// connections, and after an evacuation, when a report may be outdated.
func (t *task) assumeCold(now time.Time) {
	if until := now.Add(t.declared.Service.ColdStart); until.After(t.coldUntil) {
		t.coldUntil = until
	}
}

// limitRate limits the rate of requests while the backend server is cold or names a limit, and grants the slots
// that the rate permits by now.
func (t *task) limitRate(now time.Time) {
	rate := t.limit.PerSecond()
	if cold := t.declared.Service.ColdRate; cold > 0 && now.Before(t.coldUntil) && (rate == 0 || cold < rate) {
		rate = cold
	}
	if t.queue.SetRate(now, rate) {
		granted, expired := t.queue.Grant(now)
		t.answerWaiting(now, granted, expired)
	}
}
