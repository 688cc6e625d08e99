package backend

import "io"

// recorder keeps a copy of what is read while the head of an answer is read.
type recorder struct {
	source    io.Reader
	recording bool
	text      []byte
}

// start begins a recording with what was read before.
func (r *recorder) start(begun []byte) {
	r.recording = true
	r.text = append(r.text[:0], begun...)
}

// stop ends the recording.
func (r *recorder) stop() {
	r.recording = false
	if cap(r.text) > bufferSize {
		r.text = nil // an idle connection holds little memory
	}
}

// Read reads from the source.
func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if r.recording {
		r.text = append(r.text, p[:n]...)
	}
	return n, err
}
