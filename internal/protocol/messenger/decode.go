package messenger

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// minCBORContainerByte is the lowest initial byte of a CBOR array or map. No JSON text
// begins with this byte or a higher one.
const minCBORContainerByte = 0x80

// Decode decodes the parameters of a message into v. Notices are encoded in CBOR, all
// other messages in JSON. The error is a *Refusal with ReasonMalformed.
func Decode(params json.RawMessage, v any) error {
	decode := json.Unmarshal
	if len(params) > 0 && params[0] >= minCBORContainerByte {
		decode = cbor.Unmarshal
	}
	if err := decode(params, v); err != nil {
		return NewRefusal(ReasonMalformed, err.Error())
	}
	return nil
}
