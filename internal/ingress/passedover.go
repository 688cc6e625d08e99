package ingress

import (
	"strconv"
	"strings"

	"github.com/tideliftd/tidelift/internal/result"
)

// passedOver counts, by reason, the backend servers that were skipped for a request because they
// had no slot or refused. Reasons are in order of first occurrence.
type passedOver []passedOverCount

// passedOverCount is the count for one reason.
type passedOverCount struct {
	reason string
	count  int
}

// add counts one refusal with the code.
func (p *passedOver) add(code result.Code) {
	for i := range *p {
		if (*p)[i].reason == code.Name {
			(*p)[i].count++
			return
		}
	}
	*p = append(*p, passedOverCount{reason: code.Name, count: 1})
}

// String returns the reasons with their counts, such as "busy 4, suspected 1".
func (p passedOver) String() string {
	words := make([]string, 0, len(p))
	for _, reason := range p {
		words = append(words, reason.reason+" "+strconv.Itoa(reason.count))
	}
	return strings.Join(words, ", ")
}
