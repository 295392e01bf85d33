#ifndef JASMINEPATH_NODE_ROW_CODEC_H_
#define JASMINEPATH_NODE_ROW_CODEC_H_

#include <optional>
#include <string>

#include "jasminepath/decision/admission/claim_record.h"
#include "jasminepath/decision/admission/quarantine_record.h"
#include "jasminepath/decision/fleet/instance_record.h"
#include "jasminepath/decision/fleet/share_record.h"
#include "jasminepath/decision/placement/authority.h"

// Encodes and decodes the JSON rows that nodes write to the platform's table.
// Decoding returns nullopt for a row that is not valid.
namespace jasminepath::node {

std::string EncodeInstance(const decision::instance_record& record);
std::optional<decision::instance_record> DecodeInstance(
    const std::string& text);

std::string EncodeShare(const decision::share_record& record);
std::optional<decision::share_record> DecodeShare(const std::string& text);

std::string EncodeAuthority(const decision::authority_record& record);
std::optional<decision::authority_record> DecodeAuthority(
    const std::string& text);

std::string EncodeClaim(const decision::claim_record& record);
std::optional<decision::claim_record> DecodeClaim(const std::string& text);

std::string EncodeQuarantine(const decision::quarantine_record& record);
std::optional<decision::quarantine_record> DecodeQuarantine(
    const std::string& text);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_ROW_CODEC_H_
