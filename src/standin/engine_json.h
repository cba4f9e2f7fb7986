#ifndef SRC_STANDIN_ENGINE_JSON_H_
#define SRC_STANDIN_ENGINE_JSON_H_

#include <optional>
#include <string>

#include "include/standin/engine_model.h"
#include "src/standin/engine_handler.h"

namespace papaya {

// Parse the request bodies of a stand-in engine. Return nullopt if the body is
// malformed.
std::optional<ChatRequest> ParseChatRequest(const std::string& body);
std::optional<StandinOrder> ParseStandinOrder(const std::string& body);
std::optional<VersionFault> ParseVersionFault(const std::string& body);

// Format the response bodies and stream events of a stand-in engine.
std::string FormatChatResponse(const EngineStream& stream,
                               const std::string& stream_id,
                               const std::string& model);
std::string FormatStreamDelta(const std::string& token);
std::string FormatEngineState(const VersionManager& versions);

}  // namespace papaya

#endif  // SRC_STANDIN_ENGINE_JSON_H_
