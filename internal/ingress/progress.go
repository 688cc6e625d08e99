package ingress

import (
	"net/http"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
)

// progress is the state of a request's attempts.
type progress struct {
	attempts.History
	answer     *http.Response // error response of a backend server, used if no attempt does better
	passedOver passedOver     // since the last logged failure
	grant      retryGrant     // of the next attempt
	loanUntil  time.Time      // until when a borrowed retry may be made; zero if there is none left
}

// settleLoan gives up the borrowed retry that the last attempt was, unless it reached no backend
// server and the next attempt can use it.
func (p *progress) settleLoan(last *attempt, failure *result.Error) {
	if last.grant == grantBorrowed && failures.Classify(failure.Code).Reached {
		p.loanUntil = time.Time{}
	}
}

// useLoan uses a retry that was borrowed for an attempt that reached no backend server, and reports
// whether there is one.
func (p *progress) useLoan(now time.Time) bool { return now.Before(p.loanUntil) }

// record records an attempt that failed or returned an error response, and returns its failure.
func (p *progress) record(o outcome) *result.Error {
	failure := p.failureOf(o)
	p.Record(o.attempt.Target, failure, o.attempt.inOtherDataCentre())
	return failure
}

// failureOf returns the attempt's failure. It keeps an error response of a backend server,
// replacing the previous one.
func (p *progress) failureOf(o outcome) *result.Error {
	if o.err != nil {
		return result.From(o.err)
	}
	p.closeAnswer()
	p.answer = o.response
	return result.New(result.ServerError).WithDetail("status %d", o.response.StatusCode)
}

// end returns the error response of a backend server if there is one, or else the failure.
func (p *progress) end(failure *result.Error) (*http.Response, error) {
	if p.answer != nil {
		return p.answer, nil
	}
	return nil, failure
}

// closeAnswer closes the kept error response, if any.
func (p *progress) closeAnswer() {
	if p.answer != nil {
		_ = p.answer.Body.Close() // already read in full
	}
}
