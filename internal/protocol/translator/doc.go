// Package translator converts HTTP requests of callers to typed calls, and outcomes to
// HTTP answers.
//
// The formats are those published by OpenAI, so that its client libraries work unchanged:
// field names are the same, and errors have the same format with an outcome added.
// Request fields that this package doesn't know are forwarded to the engine unchanged.
// The headers of this project begin with Marigoldpoint-.
//
// Parsing is strict where a mistake could cause another version to answer or an unintended
// call to run: for the model name, the numbers that limit the answer, and the deadline.
// Requests are parsed before they are admitted, so every error of this package means
// NotRun.
package translator
