package pipeline

import "sync"

// memory bounds what the answers of a connection hold while they wait for their turn.
type memory struct {
	mu    sync.Mutex
	limit int
	used  int
}

// take takes that many bytes, and reports whether they were left.
func (m *memory) take(size int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+size > m.limit {
		return false
	}
	m.used += size
	return true
}

// release returns what take took.
func (m *memory) release(size int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= size
}
