#include "simulation_impl.h"

namespace jasminepath::replay {

template class simulation<decision::static_split>;

}  // namespace jasminepath::replay
