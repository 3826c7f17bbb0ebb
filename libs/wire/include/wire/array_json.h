// Structs as arrays of their members, for messages and records of which there
// are many: names of members cost more to write and read than their values.

#ifndef WIRE_ARRAY_JSON_H_
#define WIRE_ARRAY_JSON_H_

#include <cstddef>

#include <nlohmann/json.hpp>

#define WIRE_PUSH_MEMBER(member) value.push_back(it.member);

// Members that an older writer didn't know keep their defaults.
#define WIRE_TAKE_MEMBER(member)       \
  if (position < items.size()) {       \
    items[position].get_to(it.member); \
  }                                    \
  ++position;

// Defines to_json and from_json of `Type`. Members are only ever added at the
// end. Reading throws nlohmann::json::exception where the value is no array.
#define WIRE_DEFINE_ARRAY(Type, ...)                                         \
  inline void to_json(nlohmann::json& value, const Type& it) {               \
    value = nlohmann::json::array();                                         \
    NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(WIRE_PUSH_MEMBER, __VA_ARGS__)) \
  }                                                                          \
  inline void from_json(const nlohmann::json& value, Type& it) {             \
    const auto& items = value.get_ref<const nlohmann::json::array_t&>();     \
    size_t position = 0;                                                     \
    NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(WIRE_TAKE_MEMBER, __VA_ARGS__)) \
  }

#endif  // WIRE_ARRAY_JSON_H_
