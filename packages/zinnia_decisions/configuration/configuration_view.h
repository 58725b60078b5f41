#pragma once

#include <memory>

#include "zinnia_world/configuration/configuration.h"

namespace zinnia {

/** Notified when a newer configuration comes into force on this instance. */
class ConfigurationListener {
 public:
  virtual ~ConfigurationListener() = default;
  virtual void OnConfigurationChanged(const Configuration& configuration) = 0;
};

/** The configuration in force on this instance: never null, revision 0 until one is loaded. */
class ConfigurationView {
 public:
  virtual ~ConfigurationView() = default;
  virtual std::shared_ptr<const Configuration> Current() const = 0;
  virtual void AddListener(ConfigurationListener& listener) = 0;
  virtual void RemoveListener(ConfigurationListener& listener) = 0;
};

}  // namespace zinnia
