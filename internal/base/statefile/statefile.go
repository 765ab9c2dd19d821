// Package statefile stores a value in a file across restarts. The file is replaced atomically. Its first line holds the
// format and the digest of the rest (MessagePack), so that a torn or foreign file is not read as valid.
package statefile

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/google/renameio/v2"
	"github.com/hashicorp/go-msgpack/v2/codec"
)

// Write replaces the file. It is durable when Write returns nil.
func Write(path, format string, value any) error {
	var body bytes.Buffer
	if err := codec.NewEncoder(&body, &codec.MsgpackHandle{}).Encode(value); err != nil {
		return err
	}
	sum := sha256.Sum256(body.Bytes())
	f, err := renameio.NewPendingFile(path, renameio.WithPermissions(0o600))
	if err != nil {
		return err
	}
	defer func() { _ = f.Cleanup() }() // removes the pending file unless it has replaced the old one
	if _, err := fmt.Fprintf(f, "%s %s\n", format, hex.EncodeToString(sum[:])); err != nil {
		return err
	}
	if _, err := f.Write(body.Bytes()); err != nil {
		return err
	}
	return f.CloseAtomicallyReplace()
}

// Read reads a file of a format into a value. A file of more than maxBytes counts as torn.
func Read(path, format string, maxBytes int64, value any) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	r := bufio.NewReader(io.LimitReader(f, maxBytes))
	head, err := r.ReadString('\n')
	if err != nil {
		return errors.New("it is cut off")
	}
	var sum string
	if _, err := fmt.Sscanf(head, format+" %64s\n", &sum); err != nil {
		return errors.New("it is of another format")
	}
	body, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	if actual := sha256.Sum256(body); hex.EncodeToString(actual[:]) != sum {
		return errors.New("its digest is not that of its content")
	}
	return codec.NewDecoderBytes(body, &codec.MsgpackHandle{}).Decode(value)
}
