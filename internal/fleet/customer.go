package fleet

import (
	"encoding/hex"
	"fmt"

	"github.com/go-faster/errors"
)

// Customer is on whose behalf callers ask.
type Customer struct {
	Name string `yaml:"name" json:"name" jsonschema:"description=The customer's name; backend servers get it with each request."`
	// Keys are digests of the keys: a declaration is kept in version control and sent from
	// daemon to daemon.
	Keys     []string `yaml:"keys" json:"keys,omitempty" jsonschema:"description=SHA-256 digests of the keys by which callers prove that they ask for the customer; tidelift key makes them."`
	Priority *int     `yaml:"priority" json:"priority,omitempty" jsonschema:"description=The rank of the customer's requests in a queue in place of their route's; 0 is served first."`
	Rate     float64  `yaml:"rate" json:"rate,omitempty" jsonschema:"description=Requests a second that the whole fleet takes. Default no limit."`
	Burst    float64  `yaml:"burst" json:"burst,omitempty" jsonschema:"description=Requests that may come at once beyond the rate."`
}

// SameCustomers reports whether both are the same list in memory, not two with equal entries.
// Nothing in a declaration changes after it has been read, so whoever keeps something for its
// customers need not do so again when only hosts came or went.
func SameCustomers(a, b []Customer) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// KeyDigestBytes is the length of a key's digest, that of SHA-256.
const KeyDigestBytes = 32

// ParseKeyDigest reads a key's digest.
func ParseKeyDigest(text string) (digest [KeyDigestBytes]byte, err error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != KeyDigestBytes {
		return digest, errors.Errorf("want %d hexadecimal digits", 2*KeyDigestBytes)
	}
	copy(digest[:], data)
	return digest, nil
}

// customerCheck holds what was seen so far while customers are checked.
type customerCheck struct {
	add    func(path, wrong, want string)
	names  map[string]bool
	owners map[[KeyDigestBytes]byte]string // of keys
}

// checkCustomers adds what is wrong with the customers. It never names a digest, from which
// a short key could be guessed.
func checkCustomers(customers []Customer, add func(path, wrong, want string)) {
	c := customerCheck{add: add, names: make(map[string]bool, len(customers)), owners: make(map[[KeyDigestBytes]byte]string)}
	for i, customer := range customers {
		c.customer(fmt.Sprintf("$.customers[%d]", i), customer)
	}
}

func (c *customerCheck) customer(path string, customer Customer) {
	if customer.Name == "" {
		c.add(path+".name", "is empty", "the customer's name")
	}
	if c.names[customer.Name] {
		c.add(path+".name", fmt.Sprintf("%q stands twice", customer.Name), "each customer once")
	}
	c.names[customer.Name] = true
	if customer.Rate < 0 {
		c.add(path+".rate", fmt.Sprintf("is %g", customer.Rate), "0 or more")
	}
	if customer.Burst < 0 {
		c.add(path+".burst", fmt.Sprintf("is %g", customer.Burst), "0 or more")
	}
	for i, key := range customer.Keys {
		c.key(fmt.Sprintf("%s.keys[%d]", path, i), customer.Name, key)
	}
}

func (c *customerCheck) key(path, owner, text string) {
	digest, err := ParseKeyDigest(text)
	if err != nil {
		c.add(path, "is no SHA-256 digest", "what tidelift key prints")
		return
	}
	if other, taken := c.owners[digest]; taken {
		c.add(path, fmt.Sprintf("is a key of customer %q, too", other), "each key once")
	}
	c.owners[digest] = owner
}
