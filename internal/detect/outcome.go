package detect

import "net/http"

// OutcomeFromResponse returns the outcome that the status and header of a response indicate. It returns
// false if they are no evidence about the backend server: a 503 with Retry-After is load shedding.
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
