package fleet

import (
	"encoding/hex"
	"fmt"

	"github.com/go-faster/errors"
)

// Customer is a customer on whose behalf callers send requests.
type Customer struct {
	Name string `yaml:"name" json:"name" jsonschema:"description=The customer's name; backend servers get it with each request."`
	// Keys holds digests rather than keys, since a declaration is kept in version control and
	// sent between daemons.
	Keys     []string `yaml:"keys" json:"keys,omitempty" jsonschema:"description=SHA-256 digests of the keys by which callers prove that they ask for the customer; tidelift key makes them."`
	Priority *int     `yaml:"priority" json:"priority,omitempty" jsonschema:"description=The rank of the customer's requests in a queue in place of their route's; 0 is served first."`
	Rate     float64  `yaml:"rate" json:"rate,omitempty" jsonschema:"description=Requests a second that the whole fleet takes. Default no limit."`
	Burst    float64  `yaml:"burst" json:"burst,omitempty" jsonschema:"description=Requests that may come at once beyond the rate."`
}

// KeysRequired reports whether callers need a key on routes that are not public. They do if there is a list of customers, even an
// empty one: the last customer may have been removed.
func (d Declaration) KeysRequired() bool { return d.Customers != nil }

// SameCustomers reports whether a and b are the same slice in memory, rather than equal lists. A
// declaration is immutable, so anything derived from its customers remains valid when only hosts
// were added or removed.
func SameCustomers(a, b []Customer) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// KeyDigestBytes is the length of a key's SHA-256 digest.
const KeyDigestBytes = 32

// ParseKeyDigest parses the hexadecimal digest of a key.
func ParseKeyDigest(text string) (digest [KeyDigestBytes]byte, err error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != KeyDigestBytes {
		return digest, errors.Errorf("want %d hexadecimal digits", 2*KeyDigestBytes)
	}
	copy(digest[:], data)
	return digest, nil
}

// customerCheck is the state of a check of customers.
type customerCheck struct {
	add    func(path, wrong, want string)
	names  map[string]bool
	owners map[[KeyDigestBytes]byte]string // the customer of each key digest
}

// checkCustomers adds the problems of the customers. It never prints a digest, from which a
// short key could be guessed.
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
		c.add(path, "is not a SHA-256 digest", "the output of tidelift key")
		return
	}
	if other, taken := c.owners[digest]; taken {
		c.add(path, fmt.Sprintf("is already a key of customer %q", other), "each key once")
	}
	c.owners[digest] = owner
}
