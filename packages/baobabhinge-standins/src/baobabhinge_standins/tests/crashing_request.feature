Feature: A request that crashes its engine costs at most two of them

  Scenario Outline: The culprit is found and its neighbours are answered
    Given a region with three gateways and five engines
    When a <kind> request that crashes engines runs among <innocents> others
    And its caller sends it again <how>
    Then at most two engines have died
    And the culprit was refused, the last times without being run
    And every other request was answered whole

    Examples:
      | kind     | innocents | how                                      |
      | streamed | 12        | through each gateway in turn             |
      | whole    | 12        | through each gateway in turn             |
      | streamed | 6         | through two gateways at once             |
      | streamed | 9         | through gateways of which one hears late |
      | streamed | 3         | after it came through two at once        |
