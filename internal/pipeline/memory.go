package pipeline

import "sync"

// memory bounds what the answers of a connection hold while they wait for their turn.
type memory struct {
	limit   int
	account Account

	mu   sync.Mutex
	used int
}

// take takes that many bytes, and reports whether they were left.
func (m *memory) take(size int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+size > m.limit || !m.account.take(int64(size)) {
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
	m.account.give(int64(size))
}
