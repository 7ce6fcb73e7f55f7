// Package connid encodes the owner of a flow into a QUIC connection ID, so
// that any entry can route any packet of an established flow without keeping
// state.
//
// The layout follows the idea of QUIC-LB (draft-ietf-quic-load-balancers): the
// first octet carries the key generation in its top three bits, and the other
// 16 octets are one AES block that encrypts the owner's address, incarnation,
// zone and service tag and a serial number. The service tag authenticates the
// block: a fabricated ID decodes to the tag of the addressed service with
// probability 2^-32.
package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/keyring"
)

// Size is the length of an issued connection ID in bytes.
const Size = 1 + aes.BlockSize

const (
	generationShift = 5
	keySize         = 16
)

// Owner identifies the agent that terminates a flow.
type Owner struct {
	// Addr is the IPv4 address and port of the agent's tunnel socket.
	Addr netip.AddrPort
	// Incarnation changes with each start of the agent.
	Incarnation uint16
	// Zone is the number of the agent's availability zone.
	Zone uint8
	// Service is the tag of the flow's service.
	Service uint32
}

// Codec encodes and decodes connection IDs under a set of keys. It is safe for
// concurrent use.
type Codec struct {
	active uint8
	blocks [keyring.MaxGeneration + 1]cipher.Block
}

// NewCodec returns a codec that encodes with the active key and decodes with
// any key of the set. It returns an error if a key cannot be derived.
func NewCodec(keys *keyring.Keys) (*Codec, error) {
	codec := &Codec{active: keys.Active}
	for _, key := range keys.Keys {
		secret, err := key.Derive("connection id", keySize)
		if err != nil {
			return nil, err
		}
		block, err := aes.NewCipher(secret)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		codec.blocks[key.Generation] = block
	}
	return codec, nil
}

// Encode writes to dst, which must hold at least Size bytes, the connection ID
// for owner and serial. The low 24 bits of serial must be unique within one
// incarnation, or IDs repeat. The error is an *AddrError if the owner's
// address is not IPv4.
func (c *Codec) Encode(dst []byte, owner Owner, serial uint32) error {
	if !owner.Addr.Addr().Is4() {
		return &AddrError{Addr: owner.Addr}
	}
	var plaintext [aes.BlockSize]byte
	ip := owner.Addr.Addr().As4()
	copy(plaintext[0:4], ip[:])
	binary.BigEndian.PutUint16(plaintext[4:6], owner.Addr.Port())
	binary.BigEndian.PutUint16(plaintext[6:8], owner.Incarnation)
	binary.BigEndian.PutUint32(plaintext[8:12], owner.Service)
	binary.BigEndian.PutUint32(plaintext[12:16], serial)
	plaintext[12] = owner.Zone
	block := c.blocks[c.active]
	block.Encrypt(dst[1:Size], plaintext[:])
	dst[0] = c.active<<generationShift | dst[1]&(1<<generationShift-1)
	return nil
}

// Decode returns the owner encoded in id. It reports false when id is not Size
// bytes long, names a key generation that is not in the set, or does not carry
// the given service tag.
func (c *Codec) Decode(id []byte, service uint32) (Owner, bool) {
	var d Decoder
	return d.Decode(c, id, service)
}

// Decoder decodes connection IDs without allocating. It is not safe for
// concurrent use; each goroutine needs its own.
type Decoder struct {
	plaintext [aes.BlockSize]byte
}

// Decode decodes id with c and returns the same results as Codec.Decode.
func (d *Decoder) Decode(c *Codec, id []byte, service uint32) (Owner, bool) {
	if len(id) != Size {
		return Owner{}, false
	}
	block := c.blocks[id[0]>>generationShift]
	if block == nil {
		return Owner{}, false
	}
	plaintext := &d.plaintext
	block.Decrypt(plaintext[:], id[1:Size])
	if binary.BigEndian.Uint32(plaintext[8:12]) != service {
		return Owner{}, false
	}
	ip := netip.AddrFrom4([4]byte(plaintext[0:4]))
	return Owner{
		Addr:        netip.AddrPortFrom(ip, binary.BigEndian.Uint16(plaintext[4:6])),
		Incarnation: binary.BigEndian.Uint16(plaintext[6:8]),
		Zone:        plaintext[12],
		Service:     service,
	}, true
}

// Issuer issues the connection IDs of one agent. It is safe for concurrent
// use.
type Issuer struct {
	owner  Owner
	codec  atomic.Pointer[Codec]
	serial atomic.Uint32
}

// NewIssuer returns an issuer for the owner whose serial numbers start at a
// random value. It returns an error if the system's random source fails.
func NewIssuer(codec *Codec, owner Owner) (*Issuer, error) {
	var seed [4]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, errors.WithStack(err)
	}
	issuer := &Issuer{owner: owner}
	issuer.codec.Store(codec)
	issuer.serial.Store(binary.BigEndian.Uint32(seed[:]))
	return issuer, nil
}

// SetCodec sets the codec that encodes all further IDs, for key rotation.
func (i *Issuer) SetCodec(codec *Codec) {
	i.codec.Store(codec)
}

// Next returns a new connection ID. The error is an *AddrError if the owner's
// address is not IPv4.
func (i *Issuer) Next() ([]byte, error) {
	id := make([]byte, Size)
	err := i.codec.Load().Encode(id, i.owner, i.serial.Add(1))
	return id, err
}
