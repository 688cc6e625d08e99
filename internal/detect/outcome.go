package detect

import (
	"net/http"

	"github.com/tideliftd/tidelift/internal/result"
)

// FromAnswer returns what an answer's head says of the backend server. It says
// false if it says nothing: a 503 with Retry-After sheds load.
func FromAnswer(response *http.Response) (Outcome, bool) {
	switch response.StatusCode {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return Error, true
	case http.StatusServiceUnavailable:
		return Error, response.Header.Get("Retry-After") == ""
	default:
		return OK, true
	}
}

// FromResult returns what a failed request says of the backend server. It says
// false if it says nothing, as a full queue or a caller that went away.
func FromResult(code result.Code) (Outcome, bool) {
	switch code.Number {
	case result.DeadlineWhileRunning.Number, result.AttemptOverdue.Number, result.ReservationUnanswered.Number:
		return TimedOut, true
	case result.ServerUnreachable.Number, result.PeerUnreachable.Number:
		return Refused, true
	case result.ConnectionLost.Number, result.UnframedAnswer.Number, result.AnswerCut.Number, result.SpoiltAnswer.Number:
		return Lost, true
	case result.ServerFailed.Number:
		return Error, true
	default:
		return OK, false
	}
}
