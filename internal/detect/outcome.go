package detect

import "net/http"

// OutcomeFromResponse returns what an answer's head says of the backend server. It says
// false if it says nothing: a 503 with Retry-After sheds load.
func OutcomeFromResponse(response *http.Response) (Outcome, bool) {
	switch response.StatusCode {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return Error, true
	case http.StatusServiceUnavailable:
		return Error, response.Header.Get("Retry-After") == ""
	default:
		return OK, true
	}
}
