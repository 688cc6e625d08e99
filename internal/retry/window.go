package retry

import "time"

const (
	// cellCount is how many cells a window is counted in. Source: what is counted is true to one of
	// them, a quarter of a second for a window of ten.
	cellCount = 40
	// lateCells is how much later than it was taken a retry may arrive, in cells, and still count
	// in the right window: 0.75 s for a window of ten seconds. Source: the way there and the wait
	// for a slot; retries look for one that is free. It gives away a thirteenth of what is carried over.
	lateCells = 3
)

// LentFor is how long a retry that a host lends to another is good for, in a window of that length:
// as much later as a retry may arrive.
func LentFor(length time.Duration) time.Duration { return length / cellCount * lateCells }

// window counts requests and retries over the last two windows. One without a length counts
// nothing.
type window struct {
	length time.Duration
	start  time.Time // of the first cell; zero until something is counted
	// cells count the time of two windows; the newest is at newest modulo their number.
	cells  [2 * cellCount]cell
	newest int64
}

// cell is what was counted in a part of the window.
type cell struct{ requests, retries int32 }

// current returns the cell of that moment, after clearing those that are over. It is
// nil for a window without a length that cells can share.
func (w *window) current(now time.Time) *cell {
	if w.length < cellCount {
		return nil
	}
	if w.start.IsZero() {
		w.start = now
	}
	w.clearUntil(int64(now.Sub(w.start) / (w.length / cellCount)))
	return &w.cells[w.index(w.newest)]
}

// clearUntil makes the cell of that number the newest, unless it is or a newer one is.
func (w *window) clearUntil(number int64) {
	count := int64(len(w.cells))
	w.newest = max(w.newest, number-count) // what is older than all cells needs no clearing
	for w.newest < number {
		w.newest++
		w.cells[w.index(w.newest)] = cell{}
	}
}

// index is where the cell of that number is.
func (w *window) index(number int64) int64 {
	count := int64(len(w.cells))
	return (number%count + count) % count
}

// ago returns the cell that many before the newest.
func (w *window) ago(cells int) cell { return w.cells[w.index(w.newest-int64(cells))] }

// empty reports whether nothing was counted.
func (w *window) empty() bool { return w.cells == [2 * cellCount]cell{} }

// counts is what was counted since a moment, and in the window before it.
type counts struct{ before, since, retries int }

// least returns the least of what the function returns for the counts, over all moments of the last
// window. Requests of the moment's own cell count as before it.
func (w *window) least(room func(counts) float64) float64 {
	const cellsBefore = cellCount - lateCells
	var c counts
	for i := range cellsBefore {
		c.before += int(w.ago(i).requests)
	}
	c.retries = int(w.ago(0).retries)
	least := room(c)
	for i := 1; i <= cellCount; i++ {
		c.since += int(w.ago(i - 1).requests)
		c.before += int(w.ago(i+cellsBefore-1).requests) - int(w.ago(i-1).requests)
		c.retries += int(w.ago(i).retries)
		least = min(least, room(c))
	}
	return least
}
