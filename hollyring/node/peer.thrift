// Messages between VMs. Printed by bin/generate; do not edit.

struct MembershipPlace {
  1: optional string name
  2: optional i64 life
  3: optional string caller_address
  4: optional string peer_address
  5: optional string failure_domain
  6: optional string region
  7: optional double capacity
  8: optional bool settles_versions
  9: optional double link_bits_per_second
}

struct MembershipMark {
  1: optional string prefix
  2: optional i64 latest
  3: optional i64 era
  4: optional double age_seconds
}

struct MembershipNamed {
  1: optional string model
  2: optional i64 version
  3: optional double seconds
}

struct MembershipLoad {
  1: optional string upstream
  2: optional i64 requests
  3: optional i64 long_answers
  4: optional i64 unread_tokens
  5: optional i64 reading
}

struct MembershipSpent {
  1: optional string organisation
  2: optional double total
  3: optional double recent
  4: optional double fleet_usage
  5: optional double returned
}

struct CorePart {
  1: optional string name
  2: optional i64 tokens
}

struct MembershipReading {
  1: optional string upstream
  2: optional string salt
  3: optional list<CorePart> parts
  4: optional string store
}

struct MembershipHeld {
  1: optional string salt
  2: optional string part
  3: optional i64 tokens
}

struct MembershipCacheNews {
  1: optional string holder
  2: optional bool reachable
  3: optional bool reset
  4: optional list<MembershipHeld> changes
}

struct MembershipWeights {
  1: optional string upstream
  2: optional string model
  3: optional i64 version
  4: optional bool loading
}

struct MembershipGiver {
  1: optional bool holds
  2: optional double ordered_ago
  3: optional list<string> reserved
}

struct MembershipStreamOrigins {
  1: optional string service_name
  2: optional string software
  3: optional list<string> request_ids
}

struct MembershipDeparture {
  1: optional string upstream
  2: optional i64 life
}

struct MembershipCrashedServer {
  1: optional string upstream
  2: optional i64 life
  3: optional list<string> parts
}

struct MembershipBlamedParts {
  1: optional list<string> parts
  2: optional list<string> servers
  3: optional list<string> witnesses
  4: optional double seconds
}

struct MembershipUpstreamRequestLimit {
  1: optional string upstream
  2: optional i64 life
  3: optional double per_second
  4: optional double age_seconds
}

struct MembershipReleaseRoute {
  1: optional string route
  2: optional i64 baseline_answers
  3: optional i64 baseline_failed
  4: optional i64 baseline_slow
  5: optional i64 target_answers
}

struct MembershipReleaseFaults {
  1: optional string route
  2: optional string upstream
  3: optional i64 failed
  4: optional i64 slow
}

struct MembershipReleaseReport {
  1: optional string service_name
  2: optional string order_id
  3: optional i64 requests
  4: optional i64 exposed
  5: optional list<MembershipReleaseRoute> routes
  6: optional list<MembershipReleaseFaults> faults
}

struct MembershipPriorityLoad {
  1: optional string upstream
  2: optional list<i64> unread_tokens
}

struct MembershipPulse {
  1: optional MembershipPlace place
  2: optional bool ready
  3: optional bool store_reached
  4: optional list<MembershipMark> marks
  5: optional list<MembershipNamed> named
  6: optional list<MembershipLoad> loads
  7: optional list<MembershipSpent> spent
  8: optional list<MembershipReading> readings
  9: optional list<MembershipCacheNews> caches
  10: optional list<MembershipWeights> weights
  11: optional list<string> doubts
  12: optional MembershipGiver orders
  13: optional bool leaving
  14: optional bool exchanging
  15: optional double requests_per_second
  16: optional list<MembershipStreamOrigins> stream_origins
  17: optional list<MembershipDeparture> departures
  18: optional list<MembershipCrashedServer> crashes
  19: optional list<string> sound_parts
  20: optional list<MembershipBlamedParts> blamed_parts
  21: optional list<MembershipUpstreamRequestLimit> request_limits
  22: optional list<string> unreachable_services
  23: optional bool accepts_forwarded
  24: optional list<MembershipUpstreamRequestLimit> rejection_limits
  25: optional list<string> answered_requests
  26: optional double copies_age_seconds
  27: optional list<MembershipReleaseReport> releases
  28: optional list<MembershipPriorityLoad> priority_loads
}

struct MembershipStatusRequest {
  1: optional string sender
  2: optional list<MembershipStreamOrigins> begun
  3: optional list<string> sought
}

struct MembershipFleetStatus {
  1: optional bool serving
  2: optional i64 serving_vms
  3: optional list<string> unavailable
  4: optional list<MembershipMark> revisions
  5: optional list<MembershipNamed> wanted_versions
  6: optional list<MembershipBlamedParts> blamed_parts
  7: optional list<MembershipUpstreamRequestLimit> request_limits
  8: optional list<string> reaching_vms
  9: optional list<MembershipUpstreamRequestLimit> rejection_limits
  10: optional list<MembershipStreamOrigins> stream_origins
  11: optional bool wants_origins
}

struct MembershipCopyRequest {
  1: optional string prefix
  2: optional i64 after
  3: optional i64 era
  4: optional bool store_answers
}

struct MembershipCopyItem {
  1: optional string key
  2: optional binary value
  3: optional i64 revision
}

struct MembershipCopyRemoval {
  1: optional string key
  2: optional i64 revision
}

struct MembershipCopy {
  1: optional string prefix
  2: optional i64 latest
  3: optional list<MembershipCopyItem> items
  4: optional i64 complete_revision
  5: optional list<MembershipCopyRemoval> removed
  6: optional bool partial
  7: optional i64 era
  8: optional bool deferred
  9: optional double age_seconds
}

struct MembershipPermitRequest {
  1: optional string upstream
  2: optional i64 life
  3: optional double per_second
  4: optional bool urgent
  5: optional bool limited
  6: optional double rejections_per_second
  7: optional string place
  8: optional double seconds
}

struct MembershipPermitReply {
  1: optional bool granted
  2: optional double retry_after
  3: optional bool doubtful
}

struct MembershipPlaceReport {
  1: optional string upstream
  2: optional i64 life
  3: optional string place
  4: optional string outcome
}

struct MembershipCacheRequest {
  1: optional list<string> holders
}

struct MembershipCacheContents {
  1: optional list<MembershipCacheNews> reports
}

struct ConfigurationDigest {
  1: optional i64 revision
  2: optional string digest
  3: optional bool answer
}

struct ConfigurationFetch {
  1: optional i64 after
}

struct ConfigurationDeltas {
  1: optional i64 after
  2: optional list<binary> values
}

struct ConfigurationSegment {
  1: optional i64 revision
  2: optional binary head
  3: optional i64 index
  4: optional i64 count
  5: optional binary body
}

struct LimitsAsk {
  1: optional string organisation
  2: optional i64 incarnation
  3: optional i64 ask
  4: optional i64 tokens
}

struct LimitsGrant {
  1: optional i64 incarnation
  2: optional i64 ask
  3: optional i64 tokens
  4: optional i64 left
}

struct LimitsReturn {
  1: optional string organisation
  2: optional i64 incarnation
  3: optional i64 ask
  4: optional i64 tokens
  5: optional bool spent
}

struct LimitsConfirmRequest {
  1: optional i64 revision
  2: optional i64 round
}

struct LimitsConfirm {
  1: optional i64 revision
  2: optional i64 round
  3: optional i64 incarnation
}

struct LimitsSettledQuery {
  1: optional i64 revision
}

struct LimitsSettled {
  1: optional i64 revision
}

struct DeliveryClaimQuestion {
  1: optional binary key
  2: optional string owner
  3: optional i64 incarnation
  4: optional i64 sequence
}

struct DeliveryHeader {
  1: optional string name
  2: optional string value
}

struct DeliveryAnswer {
  1: optional i64 status
  2: optional list<DeliveryHeader> headers
  3: optional binary body
  4: optional bool states_end
}

struct DeliveryClaimAnswer {
  1: optional string outcome
  2: optional list<DeliveryAnswer> answers
}

struct MembershipProfile {
  1: optional string name
  2: optional i64 number
  3: optional string address
  4: optional string caller_address
  5: optional string failure_domain
  6: optional string region
}

struct MembershipUpdate {
  1: optional string name
  2: optional i64 number
  3: optional i64 refutation
  4: optional i64 status
}

struct MembershipEntry {
  1: optional string name
  2: optional i64 version
  3: optional binary value
}

struct MembershipNews {
  1: optional list<MembershipProfile> profiles
  2: optional list<MembershipUpdate> updates
  3: optional list<MembershipEntry> entries
}

struct MembershipPing {
  1: optional i64 sequence
  2: optional string sender
  3: optional i64 number
  4: optional string target
  5: optional i64 target_number
  6: optional i64 digest
  7: optional MembershipNews news
}

struct MembershipAck {
  1: optional i64 sequence
  2: optional string sender
  3: optional i64 number
  4: optional i64 digest
  5: optional MembershipNews news
}

struct MembershipPingRequest {
  1: optional i64 sequence
  2: optional string sender
  3: optional i64 number
  4: optional string target
  5: optional i64 target_number
}

struct MembershipSyncRequest {
  1: optional MembershipProfile profile
  2: optional list<i64> digests
}

struct MembershipSync {
  1: optional string sender
  2: optional i64 number
  3: optional bool more
  4: optional MembershipNews news
}

struct RoutingLookup {
  1: optional i64 lookup_id
  2: optional list<string> upstreams
  3: optional list<i64> depths
  4: optional binary names
}

struct RoutingUpstreamState {
  1: optional string upstream
  2: optional i64 incarnation
  3: optional i64 depth
  4: optional double confidence
  5: optional i64 queued_tokens
  6: optional i64 running
  7: optional i64 waiting
  8: optional double prefill_tokens_per_second
  9: optional double age_seconds
}

struct RoutingLookupAnswer {
  1: optional i64 lookup_id
  2: optional list<RoutingUpstreamState> states
}

struct DeliveryForwardedHeader {
  1: optional binary name
  2: optional binary value
}

struct CorePrompt {
  1: optional string model
  2: optional list<CorePart> parts
  3: optional i64 prompt_tokens
  4: optional i64 output_tokens
  5: optional i64 output_tokens_hint
}

struct DeliveryForwardedRequest {
  1: optional string request_id
  2: optional string resumed_request_id
  3: optional binary method
  4: optional binary target
  5: optional string host
  6: optional string path
  7: optional list<DeliveryForwardedHeader> headers
  8: optional binary body
  9: optional i64 body_bytes
  10: optional double seconds_left
  11: optional string service_name
  12: optional string organisation
  13: optional i64 priority
  14: optional i64 runs_left
  15: optional i64 sends_left
  16: optional list<string> excluded_upstreams
  17: optional CorePrompt prompt
  18: optional i64 resume_after
  19: optional string software
}

struct DeliveryForwardedRefusal {
  1: optional string code
  2: optional double retry_after
  3: optional string execution
  4: optional i64 sends
  5: optional list<string> upstreams
}

struct DeliveryForwardedHead {
  1: optional i64 status
  2: optional list<DeliveryForwardedHeader> headers
  3: optional bool streaming
  4: optional string upstream
  5: optional string software
  6: optional i64 sends
  7: optional bool states_end
}

struct DeliveryForwardedData {
  1: optional binary data
}

struct DeliveryForwardedWait {
  1: optional i64 sends
}

struct DeliveryForwardedEnd {
  1: optional i64 body_bytes
}

struct DeliveryForwardedBreak {
  1: optional string reason
}
