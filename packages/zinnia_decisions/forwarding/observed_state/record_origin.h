#pragma once

namespace zinnia {

/** Why a mirror changes a record. */
enum class RecordOrigin {
  /** It was written or removed. */
  kChange,

  /** The store came back from an older copy that holds another value, or none. What the record said
      before was true and may still be. */
  kOlderCopy,
};

}  // namespace zinnia
