package quarantinesync

import "github.com/tideliftd/tidelift/internal/quarantine"

// The messages that the task takes.
type (
	// endedMessage says that a backend server ended while it ran a request.
	endedMessage struct {
		sighting quarantine.Sighting
		end      quarantine.End
		known    chan struct{} // closed once it is believed
	}
	answeredMessage struct{ id string }
	// liftMessage is an operator's word.
	liftMessage struct {
		id    string
		reply chan answer
	}
	// tryMessage asks for the record by which this host may send a request once more.
	tryMessage struct {
		id    string
		reply chan answer
	}
	takeMessage struct {
		records []quarantine.Record
		stored  bool // the store tells of them
	}
	recordsMessage struct{ reply chan []quarantine.Record }
	// writtenMessage says what became of writing records: those that the store has now, which may tell
	// more than those given, and those that it has not taken.
	writtenMessage struct {
		stored []quarantine.Record
		failed []string
	}
)

// answer answers a liftMessage or a tryMessage; without ok there is no record.
type answer struct {
	record quarantine.Record
	ok     bool
}
