package kcresponse

// Memory is what large responses are charged to.
type Memory interface {
	// Hold charges n bytes. It returns an error if there is no room for them.
	Hold(n int64) error
	// Release releases n bytes.
	Release(n int64)
}

const (
	// UnchargedBytes is the size up to which a head or an event is not charged. It is
	// twice that of a typical head and a read-ahead. The charge of a connection covers
	// it.
	UnchargedBytes = 8 << 10
	// headFactor is the memory of a byte of a head. Fields of 6 bytes take 11 bytes of
	// memory for each when they are parsed.
	headFactor = 11
)

// HeadCharge charges the heads of the responses to one request. The zero value charges
// nothing.
type HeadCharge struct {
	// Memory may be nil.
	Memory Memory
	bytes  int
	held   int64
}

// Add charges n more bytes of heads. It returns an error if there is no room for them.
func (c *HeadCharge) Add(n int) error {
	c.bytes += n
	if c.Memory == nil || c.bytes <= UnchargedBytes {
		return nil
	}
	charge := int64(headFactor * min(n, c.bytes-UnchargedBytes))
	if err := c.Memory.Hold(charge); err != nil {
		return err
	}
	c.held += charge
	return nil
}

// Release releases the charge and stops charging.
func (c *HeadCharge) Release() {
	if c.held > 0 {
		c.Memory.Release(c.held)
	}
	*c = HeadCharge{}
}
