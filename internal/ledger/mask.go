package ledger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"

	"silvertrail/internal/balancer/idempotency"
)

// What is hashed. The values keep the hashes of different kinds apart.
const (
	kindKey         = "key"
	kindTenant      = "tenant"
	kindKeyID       = "id"
	kindFingerprint = "print"
)

// maskName returns a name as it is stored: plain, or its hash under the secret.
func (l *Ledger) maskName(kind, name string) string {
	secret := l.options.Load().Secret
	if secret == nil || name == "" {
		return name
	}
	return HashName(secret, kind, name)
}

// HashName returns the hash of a name under a secret. Kind is "key" or "tenant".
func HashName(secret []byte, kind, name string) string {
	h := keyedHash(secret, kind, []byte(name))
	return hex.EncodeToString(h[:])
}

// keyedHash returns the first half of an HMAC-SHA-256.
func keyedHash(secret []byte, kind string, data []byte) (out [16]byte) {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(kind))
	mac.Write([]byte{0})
	mac.Write(data)
	copy(out[:], mac.Sum(nil))
	return out
}

func (l *Ledger) maskKeyID(id idempotency.KeyID) idempotency.KeyID {
	if secret := l.options.Load().Secret; secret != nil {
		return keyedHash(secret, kindKeyID, id[:])
	}
	return id
}

// MaskFingerprint returns a request's fingerprint as it is stored.
func (l *Ledger) MaskFingerprint(f idempotency.Fingerprint) idempotency.Fingerprint {
	if secret := l.options.Load().Secret; secret != nil && f != (idempotency.Fingerprint{}) {
		return keyedHash(secret, kindFingerprint, f[:])
	}
	return f
}
