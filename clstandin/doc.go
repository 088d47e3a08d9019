// Package clstandin defines small simulated outside systems over HTTP, with
// fault switches, for tests and the demo: the platform, a model engine and a
// plain booking service.
//
// All stand-ins:
//
//	GET, POST /admin/faults          read or replace the fault switches (Faults)
//	POST /admin/actions/silence      open connections stop sending; new ones work
//	POST /admin/actions/crash        abort all connections, new boot ID
//	GET /stats                       counters
//
// The fault switches don't apply to /admin/ and /stats. Answers echo X-Attempt-ID.
//
// Platform:
//
//	GET /objects?prefix=p            {"objects":[{"key","value" (base64),"version"}]}, ordered by key
//	GET /objects/<key>               value, version in ETag; 404
//	GET /objects/<key>?watch=1&after=v&wait_ms=n
//	                                 the same once the version differs from v; 304 after n ms;
//	                                 404 if the object was deleted
//	PUT, DELETE /objects/<key>       with If-Match: "v", or If-None-Match: * to create;
//	                                 412 conflict, 413 over 1 MB, 428 no condition, 429 rate exceeded
//	GET /cloud/offers                {"offers":[clplatform.Offer]}
//	POST /cloud/instances            clplatform.InstanceRequest; 201 clplatform.Instance, 409 no capacity
//	DELETE /cloud/instances/<id>     the instance is gone
//	GET /cloud/notices?after=s&wait_ms=n
//	                                 {"notices":[clplatform.Notice]}
//	GET /instances                   {"instances":[clplatform.Instance]}, late by a set time
//	POST /weights/<model>/reserve    {"wait_ms":n}
//	GET, POST /admin/instances       list without lag; register an instance, or the endpoint of a
//	                                 started one (clplatform.Instance)
//	DELETE /admin/instances/<id>     as for the cloud API
//	POST /admin/reclaims             ReclaimRequest; {"notices":[clplatform.Notice]}
//
// Engine:
//
//	POST /v1/completions             prompt, max_tokens, stream, stream_options.include_usage, priority
//	POST /v1/chat/completions        (lower runs first), continue_tokens (texts of the first tokens)
//	POST /v1/streams/<id>/resume     {"position":n}: the events after the first n tokens; 404
//	POST /v1/streams/<id>/cancel     answers when the place in the batch is free; 404
//	GET /v1/streams/<id>/kv          KV cache of a stream: a line of JSON, then filler bytes
//	POST /v1/kv                      import of such a body, or as JSON {"from":"ip:port","stream":"id"}
//	GET /load                        clendpoint.Load
//	GET /cache/events?after=s        {"boot_id","events":[clendpoint.CacheEvent]}; after=0 or beyond the
//	                                 newest: the whole content, each event with the newest sequence
//	POST /orders                     clendpoint.Order with action load or role; 409 old fencing number
//	POST /admin/actions/turn_cold    cold without a restart (TurnColdRequest)
//
// The stream ID is in the X-Stream-ID header and in the id of each event,
// "<stream>:<tokens so far>". max_tokens, usage and positions count the whole
// answer, continued tokens included.
//
// Booking service: every other route. GET and HEAD read; other methods book
// and are counted by Idempotency-Key and by body. GET /load as for the engine.
package clstandin
