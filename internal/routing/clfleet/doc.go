// Package clfleet selects the endpoint of each attempt from what one gateway
// knows: the registered endpoints, the load from its own requests, the load that
// the other gateways report, and the outcomes of earlier attempts.
//
// Terms used in this package:
//
//   - An engine service runs a model engine at each of its endpoints. Any other
//     service is a plain service; its requests count as having no prompt.
//   - A slot is an endpoint's capacity for one running request.
//   - The prefill is the processing of a request's prompt by an engine. It ends
//     with the first event.
//   - The first event of an attempt is the first event of a streamed answer. If
//     the answer is not streamed, the response takes its place.
//   - A cold endpoint has started recently, or its data centre got no requests
//     until recently. It tolerates only a limited rate of requests.
//   - A digest is the message in which a gateway periodically reports its load to
//     the other gateways.
//   - The affinity endpoints of a request are the two endpoints to which requests
//     with the same shared prefix of the prompt are preferably sent.
//   - An operator's intent is a request to roll out a version of a service.
//   - The split version is the version that the intent names. It gets a share of
//     the service's requests that the caller of this package sets.
//
// The package does no I/O and reads no clock. Its types are safe for
// concurrent use.
package clfleet
