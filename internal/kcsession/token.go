// Package kcsession binds a session to a version with a signed token that the
// caller sends back, so that instances keep no session state.
package kcsession

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/golang-jwt/jwt/v5"
	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
)

// Key signs and verifies tokens.
type Key struct {
	// ID is unique among the keys. It is the kid header of each token.
	ID string `json:"id"`
	// Secret has at least MinSecretBytes bytes.
	Secret string `json:"secret"`
}

// Binding holds the claims of a token.
type Binding struct {
	Workspace string `json:"ws"`
	// Version is name@version.
	Version string `json:"ver"`
	jwt.RegisteredClaims
}

// Signer issues tokens with the first key and verifies them with any key. To
// rotate keys without breaking sessions, add the new key at the end, move it to
// the front once all instances have it, and remove the old key when its
// sessions are over.
type Signer struct{ current atomic.Pointer[keySet] }

// keySet holds the current keys and a cache of the tokens issued with them. A
// token depends only on the key, the workspace and the version, so there are
// few distinct tokens and each is signed once.
type keySet struct {
	keys         []Key
	issuedTokens sync.Map // tokenKey to string
}

type tokenKey struct{ workspace, version string }

// MinSecretBytes is the minimum length of a secret: the output size of the hash
// function of HS256.
const MinSecretBytes = 32

// NewSigner returns a signer. It requires at least one key.
func NewSigner(keys []Key) (*Signer, error) {
	s := &Signer{}
	return s, s.SetKeys(keys)
}

// SetKeys replaces the keys. If one of the new keys is invalid, the current
// keys stay.
func (s *Signer) SetKeys(keys []Key) error {
	if len(keys) == 0 {
		return errs.New("session keys: at least one key is required")
	}
	ids := kcset.New[string]()
	for _, k := range keys {
		if len(k.Secret) < MinSecretBytes {
			return errs.New("session key %q: the secret must have at least %d bytes", k.ID, MinSecretBytes)
		}
		if ids.Has(k.ID) {
			return errs.New("session key %q: the id is used twice", k.ID)
		}
		ids.Add(k.ID)
	}
	if old := s.current.Load(); old == nil || !slices.Equal(old.keys, keys) {
		s.current.Store(&keySet{keys: slices.Clone(keys)})
	}
	return nil
}

// Issue returns a token that binds the workspace to the version.
func (s *Signer) Issue(workspace, version string) (string, error) {
	set := s.current.Load()
	cacheKey := tokenKey{workspace, version}
	if token, ok := set.issuedTokens.Load(cacheKey); ok {
		return token.(string), nil
	}
	key := set.keys[0]
	t := jwt.NewWithClaims(jwt.SigningMethodHS256, Binding{Workspace: workspace, Version: version})
	t.Header["kid"] = key.ID
	signed, err := t.SignedString([]byte(key.Secret))
	if err != nil {
		return "", errs.Wrap(err)
	}
	set.issuedTokens.Store(cacheKey, signed)
	return signed, nil
}

// Verify returns the binding of a token that was issued to this workspace.
func (s *Signer) Verify(workspace, token string) (Binding, error) {
	var b Binding
	_, err := jwt.ParseWithClaims(token, &b, s.verificationKey, jwt.WithValidMethods([]string{"HS256"}))
	if err != nil {
		return Binding{}, errs.Wrap(err)
	}
	if b.Workspace != workspace {
		return Binding{}, errs.New("session token belongs to another workspace")
	}
	return b, nil
}

func (s *Signer) verificationKey(t *jwt.Token) (any, error) {
	for _, k := range s.current.Load().keys {
		if k.ID == t.Header["kid"] {
			return []byte(k.Secret), nil
		}
	}
	return nil, errs.New("session token was signed with an unknown key")
}
