// SPDX-License-Identifier: Apache-2.0

/// \file
/// Parses lists whose entries are written by many programs.

#ifndef DOORWOOD_LENIENT_JSON_H_
#define DOORWOOD_LENIENT_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "doorwood/json_codec.h"

namespace doorwood {

/// Copies JSON text and replaces what `ParseJson` rejects although the rest may
/// be of use: an array or object that is nested more than 64 levels deep and a
/// number beyond the range of double become null, and an unpaired surrogate in
/// a string U+FFFD.
std::string ReplaceUnreadableValues(std::string_view text);

/// Like `ParseJson`, but values that it rejects are replaced first, so that
/// they do not make the rest of the text unreadable. Returns nothing if the
/// text is not valid JSON otherwise.
std::optional<Json> ParseJsonLeniently(std::string_view text);

}  // namespace doorwood

#endif  // DOORWOOD_LENIENT_JSON_H_
