// The error convention of the project: a function that can fail returns
// std::optional (or bool) and leaves the last reason in an out parameter.

#ifndef BASE_REASON_H_
#define BASE_REASON_H_

#include <string>
#include <utility>

namespace sassafras::base {

// Why the last call failed. `Code` is the error enum of one layer; a layer
// turns the reasons of the layers below into its own.
template <typename Code>
struct Reason {
  Code code{};
  std::string message;

  // Records a failure; returns false so that callers can `return` it.
  bool Set(Code new_code, std::string new_message) {
    code = new_code;
    message = std::move(new_message);
    return false;
  }
};

}  // namespace sassafras::base

#endif  // BASE_REASON_H_
