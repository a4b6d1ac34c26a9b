# Messages between the entry VMs.
#
# The Rust code in `peer_capnp.rs` is generated from this file and committed. After a change, run in `crates/wire/src`:
#
#   cargo install --root ../../../target/tools --target-dir ../../../target/tools/build capnpc@^0.27
#   capnp compile -o ../../../target/tools/bin/capnpc-rust peer.capnp
#
# Times are durations in milliseconds, never timestamps, since the clocks of VMs differ. Later versions only append
# fields and methods; a change of meaning increments `PROTOCOL_VERSION` in `peer.rs`.

@0xe1c5b1f2a6d90b37;

struct Ticket {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
}

# One pool in one scheduling domain. An empty data centre means the whole deployment.
struct Shard {
  pool @0 :Text;
  dataCentre @1 :Text;
}

struct Ask {
  ticket @0 :Ticket;
  class @1 :Text;
  organisation @2 :Text;
  weight @3 :UInt32;
  tier @4 :UInt8;
  leftMs @5 :UInt64;
  targetMs @6 :UInt64;
  ageingMs @7 :UInt64;
  idempotent @8 :Bool;
  preemptible @9 :Bool;
  expectedTokens @10 :UInt32;
  generatedTokens @11 :UInt32;
  classInFlightMax @12 :UInt32;
  organisationInFlightMax @13 :UInt32;
  prefixHash @14 :UInt64;
  contentHash @15 :Data;
  dataCentre @16 :Text;
  excluded @17 :List(Text);
}

# Response to `enqueue`.
struct Verdict {
  union {
    grant :group {
      endpoint @0 :Text;
      address @1 :Text;
    }
    refuse :group {
      reason @2 :Text;
      retryAfterMs @3 :UInt64;
    }
    # The receiver does not schedule the shard; another member does.
    notOwner @4 :Void;
  }
}

enum End {
  done @0;
  notSent @1;
  failed @2;
  lost @3;
  cancelled @4;
  preempted @5;
}

struct Report {
  shard @0 :Shard;
  ticket @1 :Ticket;
  union {
    firstToken :group {
      elapsedMs @2 :UInt64;
    }
    progress :group {
      tokens @3 :UInt32;
      gapUs @4 :UInt64;
    }
    finish :group {
      end @5 :End;
      finishTokens @6 :UInt32;
    }
  }
}

# State of the sender, exchanged as a heartbeat.
struct Digest {
  name @0 :Text;
  incarnation @1 :UInt64;
  isDraining @2 :Bool;
  settingsVersion @3 :UInt64;
  # Requests in progress.
  load @4 :UInt32;
  # Endpoints that the sender's VM list marks as leaving.
  leaving @5 :List(Text);
}

struct Evidence {
  contentHash @0 :Data;
  endpoint @1 :Text;
  ageMs @2 :UInt64;
}

struct ClaimRequest {
  organisation @0 :Text;
  key @1 :Data;
  bodyHash @2 :Data;
  class @3 :Text;
  claimant @4 :UInt64;
  mayUseMemory @5 :Bool;
  waitMs @6 :UInt64;
}

struct ClaimGrant {
  range @0 :UInt8;
  fence @1 :UInt64;
  attempt @2 :UInt32;
}

struct StoredAnswer {
  status @0 :UInt16;
  contentType @1 :Text;
  hasBody @2 :Bool;
  body @3 :Data;
}

struct ClaimVerdict {
  union {
    granted @0 :ClaimGrant;
    done @1 :StoredAnswer;
    refused :group {
      reason @2 :Text;
      mayHaveRun @3 :Bool;
      retryAfterMs @4 :UInt64;
      message @5 :Text;
    }
  }
}

struct Settlement {
  organisation @0 :Text;
  key @1 :Data;
  grant @2 :ClaimGrant;
  union {
    done @3 :StoredAnswer;
    notRun @4 :Void;
    unknown @5 :Void;
  }
}

# Callbacks from the owner of a shard to the VM that holds a request.
interface Orders {
  preempt @0 (shard :Shard, ticket :Ticket) -> ();
}

interface Router {
  # First call on a connection; fails if the protocol versions differ.
  hello @0 (version :UInt16, incarnation :UInt64, name :Text) -> (version :UInt16, incarnation :UInt64, name :Text);
  exchange @1 (digest :Digest) -> (digest :Digest);
  # Returns when a slot is granted or refused. `skipped` lists members that the sender cannot reach.
  enqueue @2 (shard :Shard, ask :Ask, skipped :List(Text)) -> (verdict :Verdict);
  cancel @3 (shard :Shard, ticket :Ticket) -> ();
  # Hands over a request that runs under a grant of a previous owner.
  adopt @4 (shard :Shard, ask :Ask, endpoint :Text) -> ();
  report @5 (reports :List(Report)) -> ();
  # Registers the receiver of preemption orders for requests of the caller's incarnation.
  watch @6 (orders :Orders) -> ();
  claim @7 (request :ClaimRequest) -> (verdict :ClaimVerdict);
  settle @8 (settlement :Settlement) -> ();
  # Returns the newest settings state if it is newer than `haveVersion`, otherwise version 0 without state.
  settings @9 (haveVersion :UInt64) -> (version :UInt64, state :Data);
  evidence @10 (evidence :List(Evidence)) -> ();
  explain @11 (requestId :Text) -> (lines :List(Text));
}
