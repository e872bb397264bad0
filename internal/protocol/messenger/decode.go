package messenger

import "encoding/json"

// Decode reads a message's parameters into v and refuses malformed ones.
func Decode(params json.RawMessage, v any) error {
	if err := json.Unmarshal(params, v); err != nil {
		return NewRefusal(ReasonMalformed, err.Error())
	}
	return nil
}
