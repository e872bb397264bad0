// Package claimer decides, at an entry, how a non-idempotent call comes to run
// at most once.
//
// Before it dispatches such a call the entry has Control commit a claim on the
// call's key. Only the holder of the claim dispatches. The claim ends as
// Released only if the call provably did not run, as Done with the place of the
// kept answer, and as Unknown on any doubt. A second call with the key gets the
// kept answer, or is told the truth: in progress, outcome unknown, or the key
// belongs to another call.
//
// Machine is the state machine of one claim. It opens no socket: its methods
// take what happened and return the next step.
package claimer
