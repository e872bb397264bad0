package messenger

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// leastCBOR is the first byte that begins a CBOR array or map. No JSON text
// begins with it or one above.
const leastCBOR = 0x80

// Decode reads a message's parameters into v and refuses malformed ones. Frequent
// notifications come in CBOR, all else in JSON.
func Decode(params json.RawMessage, v any) error {
	decode := json.Unmarshal
	if len(params) > 0 && params[0] >= leastCBOR {
		decode = cbor.Unmarshal
	}
	if err := decode(params, v); err != nil {
		return NewRefusal(ReasonMalformed, err.Error())
	}
	return nil
}
