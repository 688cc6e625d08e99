package ingress

import (
	"net/http"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/result"
)

// progress is what became of a request's attempts so far.
type progress struct {
	attempts.History
	answer     *http.Response // a failure of a backend server, if nothing better comes
	passedOver passedOver     // since the last log line
	grant      retryGrant     // of the next attempt
}

// record enters an attempt that failed, or whose answer is kept if nothing better comes, and
// returns its failure.
func (p *progress) record(o outcome) *result.Error {
	failure := p.failureOf(o)
	p.Record(o.attempt.Target, failure, o.attempt.far())
	return failure
}

// failureOf returns the attempt's failure. An answer of a backend server that says that it failed
// is kept in place of the one before.
func (p *progress) failureOf(o outcome) *result.Error {
	if o.err != nil {
		return result.From(o.err)
	}
	p.closeAnswer()
	p.answer = o.response
	return result.New(result.ServerError).WithDetail("status %d", o.response.StatusCode)
}

// end returns the answer of a backend server if there is one, and else the failure.
func (p *progress) end(failure *result.Error) (*http.Response, error) {
	if p.answer != nil {
		return p.answer, nil
	}
	return nil, failure
}

// closeAnswer closes the answer that is not needed any more.
func (p *progress) closeAnswer() {
	if p.answer != nil {
		_ = p.answer.Body.Close() // it was read whole
	}
}
