// Package statefile stores a value in a file across restarts. The file is replaced atomically. Its first line holds the name of
// the format and the SHA-256 digest of the rest, which is MessagePack. A truncated, damaged or foreign file is therefore not
// read as valid.
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

// Write replaces the file at path. The new content is durable once Write returns nil.
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

// Read decodes the file at path into value. The file has to be of the given format. A file of more than maxBytes is treated as
// truncated.
func Read(path, format string, maxBytes int64, value any) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	r := bufio.NewReader(io.LimitReader(f, maxBytes))
	head, err := r.ReadString('\n')
	if err != nil {
		return errors.New("state file: header line is truncated")
	}
	var sum string
	if _, err := fmt.Sscanf(head, format+" %64s\n", &sum); err != nil {
		return errors.New("state file: header line is malformed or names another format")
	}
	body, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	if actual := sha256.Sum256(body); hex.EncodeToString(actual[:]) != sum {
		return errors.New("state file: digest in the header does not match the content")
	}
	return codec.NewDecoderBytes(body, &codec.MsgpackHandle{}).Decode(value)
}
