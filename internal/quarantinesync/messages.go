package quarantinesync

import "github.com/tideliftd/tidelift/internal/quarantine"

// The messages to the task.
type (
	// endedMessage says that a backend server ended while it ran a request.
	endedMessage struct {
		sighting quarantine.Request
		end      quarantine.End
		known    chan struct{} // closed once lookups know it
	}
	answeredMessage struct{ id string }
	// liftMessage says that an operator lifts a quarantine.
	liftMessage struct {
		id    string
		reply chan answer
	}
	// trialMessage asks for the record by which this host may send a request once more.
	trialMessage struct {
		id    string
		reply chan answer
	}
	mergeMessage struct {
		records []quarantine.Record
		stored  bool // they come from the store
	}
	recordsMessage struct{ reply chan []quarantine.Record }
	// writtenMessage says what became of writing records: those that the store has now, which may tell
	// more than those given, and those that it has not taken.
	writtenMessage struct {
		stored []quarantine.Record
		failed []string
	}
)

// answer answers a liftMessage or a trialMessage; without ok there is no record.
type answer struct {
	record quarantine.Record
	ok     bool
}
