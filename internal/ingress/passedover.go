package ingress

import (
	"strconv"
	"strings"

	"github.com/tideliftd/tidelift/internal/result"
)

// passedOver counts by reason the backend servers that had no slot for a request or were not
// to be asked now. It has a place for each reason that was met, in the order of meeting.
type passedOver []passedOverFor

// passedOverFor is how many there were for one reason.
type passedOverFor struct {
	reason string
	count  int
}

// add counts one.
func (p *passedOver) add(code result.Code) {
	for i := range *p {
		if (*p)[i].reason == code.Name {
			(*p)[i].count++
			return
		}
	}
	*p = append(*p, passedOverFor{reason: code.Name, count: 1})
}

// String returns the reasons with their counts, such as "busy 4, suspected 1".
func (p passedOver) String() string {
	words := make([]string, 0, len(p))
	for _, reason := range p {
		words = append(words, reason.reason+" "+strconv.Itoa(reason.count))
	}
	return strings.Join(words, ", ")
}
