package quarantinesync

import "github.com/tideliftd/tidelift/internal/quarantine"

// Messages to the task.
type (
	// endedMessage reports that a backend server ended while running a request.
	endedMessage struct {
		request quarantine.Request
		end     quarantine.End
		applied chan struct{} // closed once lookups reflect the end
	}
	// answeredMessage reports that a backend server answered a request.
	answeredMessage struct{ id string }
	// liftMessage clears a request on behalf of an operator.
	liftMessage struct {
		id    string
		reply chan taskReply
	}
	// trialMessage requests the record that claims the trial of a request for this host.
	trialMessage struct {
		id    string
		reply chan taskReply
	}
	// returnedMessage gives back the trial of a request that this host has claimed.
	returnedMessage struct{ id string }
	mergeMessage    struct {
		records []quarantine.Record
		stored  bool // the records come from the store
	}
	recordsMessage struct{ reply chan []quarantine.Record }
	// writtenMessage reports the result of a batch: the records as they are in the store now, merged with what it
	// had, and the IDs of those that could not be written.
	writtenMessage struct {
		stored []quarantine.Record
		failed []string
	}
)

// taskReply is the reply to a liftMessage or a trialMessage. The record is valid only if ok.
type taskReply struct {
	record quarantine.Record
	ok     bool
}
