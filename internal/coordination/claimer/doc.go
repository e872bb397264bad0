// Package claimer decides at an entry how a non-idempotent call runs at most once.
//
// Before an entry dispatches such a call, it has the control group commit a claim on the call's key.
// Only the holder of the claim dispatches the call. The claim ends as Released only if the call
// provably did not run, as Done with a reference to the retained answer, and as Unknown if the
// outcome is uncertain. A second call with the same key gets the retained answer, or an error that
// states why it was refused: the first call is in progress, its outcome is unknown, or the key
// belongs to a different call.
//
// Machine is the state machine of one claim. It opens no socket: its methods take events and return
// the next step.
package claimer
